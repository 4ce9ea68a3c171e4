//! The routing state that operators see.
