# The few commands of each day. `make help` lists them.

.PHONY: help build test bench lint docs demo soak regression format generate

# Deployments of the users that are scored before a landing, see CONTRIBUTING.md.
REGRESSION_SITES = sites/tsog-search sites/haneul-oleander \
	grown/tsog-search-grown grown/haneul-oleander-grown large/haneul-oleander-large \
	demands/skrive-soeg-grown demands/vozilica-pretraga-grown

help: ## Lists the commands.
	@grep -E '^[a-z-]+:.*##' Makefile | sed 's/:.*##/ -/'

build: ## Builds every program.
	cargo build --workspace --release

test: ## Runs every test but those listed in KNOWN-RED.txt, which it prints.
	./tools/test

bench: ## Counts the instructions of the decisions against their limits.
	./tools/bench

lint: ## Checks format, lints and where the platform's names stand.
	cargo fmt --all --check
	cargo clippy --workspace --all-targets -- -D warnings
	./tools/names

docs: ## Builds the documentation.
	RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps

demo: ## Serves both deployments in one process for a few seconds.
	cargo run --release --bin oleanderwind-load -- demo

soak: ## Plays ten fresh seeds of faults against daemons of this build.
	cargo build --release -p oleanderwind_platform -p oleanderwind_soak
	target/release/oleanderwind-soak --runs 10

regression: ## Scores the users' deployments; BENCH is their program, SITES the folder of their pages.
	@for site in $(REGRESSION_SITES); do \
		$(BENCH) score $(SITES)/$$site.toml --quick --jobs 3 --why "regression run" || exit 1; \
	done

format: ## Formats every file.
	cargo fmt --all

generate: ## Writes the peer protocol's Rust code from its .proto file.
	cargo run --manifest-path tools/generate/Cargo.toml --target-dir target/generate
	cargo fmt --all
