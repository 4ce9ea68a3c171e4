//! Execution of commands.

use awc::http::Method;
use oleanderwind_policy::FieldDifference;
use oleanderwind_policy::RawContract;
use oleanderwind_policy::RawPlacement;
use oleanderwind_wire::ClassOutcome;
use oleanderwind_wire::ContractDocument;
use oleanderwind_wire::ContractEdit;
use oleanderwind_wire::EditReport;
use oleanderwind_wire::EditVerdict;
use oleanderwind_wire::FleetMember;
use oleanderwind_wire::HistoryEntry;
use oleanderwind_wire::RouteExplanation;
use oleanderwind_wire::RoutingStatus;
use oleanderwind_wire::SuspectWork;
use oleanderwind_wire::VmStatus;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::client::AdminClient;
use crate::client::ControlError;
use crate::command::ContractAction;
use crate::command::ControlAction;
use crate::command::ControlCommand;
use crate::command::QuarantineAction;
use crate::render::RenderText;

/// Address of the admin API if none is given.
const DEFAULT_ADMIN_ADDRESS: &str = "127.0.0.1:7401";

/// Exit code of a successful command.
const EXIT_SUCCESS: u8 = 0;
/// Exit code if the VM refused the command, for example because of a conflict or findings.
const EXIT_REFUSED: u8 = 1;
/// Exit code for an invalid file or argument.
const EXIT_INVALID_INPUT: u8 = 2;
/// Exit code if the VM could not be reached or the platform did not accept the edit.
const EXIT_UNREACHABLE: u8 = 3;
/// Exit code if it is unknown whether a change took effect.
const EXIT_UNKNOWN: u8 = 4;

/// Result of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandOutcome {
    /// Text for standard output.
    pub stdout: String,
    /// Text for standard error.
    pub stderr: String,
    /// Process exit code.
    pub exit_code: u8,
}

/// Executes a command.
///
/// `variable` returns the value of an environment variable. The future must be polled within an
/// actix system.
pub async fn run_command(
    command: &ControlCommand,
    variable: impl Fn(&str) -> Option<String>,
) -> CommandOutcome {
    let admin = command.admin.clone().or_else(|| variable("OLEANDERWIND_ADMIN"));
    let token = command.token.clone().or_else(|| variable("OLEANDERWIND_OPERATOR_TOKEN"));
    let client = AdminClient::new(admin.unwrap_or_else(|| DEFAULT_ADMIN_ADDRESS.to_owned()), token);
    let runner = CommandRunner { client, json: command.json };
    runner.run(&command.action).await.unwrap_or_else(|error| error_outcome(&error))
}

fn error_outcome(error: &ControlError) -> CommandOutcome {
    let code = match error {
        ControlError::Unreachable { .. } => EXIT_UNREACHABLE,
        ControlError::Refused { .. } => EXIT_REFUSED,
        ControlError::InvalidInput { .. } => EXIT_INVALID_INPUT,
    };
    CommandOutcome { stdout: String::new(), stderr: format!("{error}\n"), exit_code: code }
}

/// Executes commands against one VM.
struct CommandRunner {
    client: AdminClient,
    json: bool,
}

impl CommandRunner {
    async fn run(&self, action: &ControlAction) -> Result<CommandOutcome, ControlError> {
        match action {
            ControlAction::Contract(command) => self.run_contract(&command.action).await,
            ControlAction::Move(command) => {
                let placement = parse_shares(&command.shares)?;
                self.move_customer(&command.customer, placement, &command.operator).await
            }
            ControlAction::Status(_) => self.show::<VmStatus>("/v1/status").await,
            ControlAction::Routing(_) => self.show::<RoutingStatus>("/v1/routing").await,
            ControlAction::Fleet(_) => self.show::<Vec<FleetMember>>("/v1/fleet").await,
            ControlAction::Outcomes(_) => self.show::<Vec<ClassOutcome>>("/v1/outcomes").await,
            ControlAction::Explain(command) => {
                let path =
                    format!("/v1/explain?customer={}&class={}", command.customer, command.class);
                self.show::<RouteExplanation>(&path).await
            }
            ControlAction::Quarantine(command) => self.run_quarantine(&command.action).await,
            ControlAction::Drain(_) => {
                self.client.send(Method::POST, "/v1/drain", &Value::Null).await?;
                Ok(success("the VM leaves the fleet and ends by itself\n".to_owned()))
            }
        }
    }

    async fn run_quarantine(
        &self,
        action: &QuarantineAction,
    ) -> Result<CommandOutcome, ControlError> {
        let (work, order) = match action {
            QuarantineAction::List(_) => {
                return self.show::<Vec<SuspectWork>>("/v1/quarantine").await;
            }
            QuarantineAction::Clear(command) => (&command.work, "clear"),
            QuarantineAction::Block(command) => (&command.work, "block"),
        };
        let path = format!("/v1/quarantine/{work}/{order}");
        let reply = self.client.send(Method::POST, &path, &Value::Null).await?;
        let suspect: SuspectWork = reply.parse_json()?;
        Ok(success(self.render(&vec![suspect])))
    }

    async fn run_contract(&self, action: &ContractAction) -> Result<CommandOutcome, ControlError> {
        match action {
            ContractAction::List(_) => self.show::<Vec<ContractDocument>>("/v1/contracts").await,
            ContractAction::Get(command) => {
                self.show::<ContractDocument>(&contract_path(&command.customer)).await
            }
            ContractAction::History(command) => {
                let path = format!("{}/history", contract_path(&command.customer));
                self.show::<Vec<HistoryEntry>>(&path).await
            }
            ContractAction::Validate(command) => {
                let contract = read_json_file(&command.file)?;
                let path = "/v1/contracts/validate";
                let reply = self.client.send(Method::POST, path, &contract).await?;
                Ok(self.edit_outcome(&reply.parse_json()?))
            }
            ContractAction::Apply(command) => {
                let contract = read_json_file(&command.file)?;
                let edit = ContractEdit {
                    expected_revision: command.revision,
                    operator: command.operator.clone(),
                    contract,
                };
                self.apply(&edit).await
            }
            ContractAction::Diff(command) => self.diff(&command.file).await,
        }
    }
}

/// Edits of contracts.
impl CommandRunner {
    async fn apply(&self, edit: &ContractEdit) -> Result<CommandOutcome, ControlError> {
        let customer = edit.contract["customer"].as_str().unwrap_or_default();
        if customer.is_empty() {
            return Err(invalid_input("customer", "missing from the contract"));
        }
        let reply = self.client.send(Method::PUT, &contract_path(customer), edit).await?;
        Ok(self.edit_outcome(&reply.parse_json()?))
    }

    async fn move_customer(
        &self,
        customer: &str,
        placement: Vec<RawPlacement>,
        operator: &str,
    ) -> Result<CommandOutcome, ControlError> {
        let document: ContractDocument = self.client.get(&contract_path(customer)).await?;
        let contract = RawContract { placement, ..document.contract };
        let edit = ContractEdit {
            expected_revision: Some(document.revision),
            operator: operator.to_owned(),
            contract: serde_json::to_value(&contract).unwrap_or_default(),
        };
        self.apply(&edit).await
    }

    async fn diff(&self, file: &str) -> Result<CommandOutcome, ControlError> {
        let value = read_json_file(file)?;
        let after: RawContract = serde_json::from_value(value)
            .map_err(|error| invalid_input(file, &format!("not a valid contract: {error}")))?;
        let path = contract_path(&after.customer);
        let before: ContractDocument = self.client.get(&path).await?;
        let differences = FieldDifference::between(Some(&before.contract), &after);
        let mut output = format!("from revision {}\n", before.revision);
        for difference in &differences {
            output.push_str(&format!("  {difference}\n"));
        }
        Ok(success(output))
    }

    fn edit_outcome(&self, report: &EditReport) -> CommandOutcome {
        let code = match report.verdict {
            EditVerdict::Accepted | EditVerdict::Valid => EXIT_SUCCESS,
            EditVerdict::Conflict | EditVerdict::Invalid => EXIT_REFUSED,
            EditVerdict::NotWritten => EXIT_UNREACHABLE,
            EditVerdict::Unknown => EXIT_UNKNOWN,
        };
        CommandOutcome { stdout: self.render(report), stderr: String::new(), exit_code: code }
    }
}

/// Output.
impl CommandRunner {
    async fn show<T>(&self, path: &str) -> Result<CommandOutcome, ControlError>
    where
        T: DeserializeOwned + RenderText + Serialize,
    {
        let value: T = self.client.get(path).await?;
        Ok(success(self.render(&value)))
    }

    fn render<T: RenderText + Serialize>(&self, value: &T) -> String {
        match self.json {
            true => format!("{}\n", serde_json::to_string_pretty(value).unwrap_or_default()),
            false => value.render_text(),
        }
    }
}

fn success(output: String) -> CommandOutcome {
    CommandOutcome { stdout: output, stderr: String::new(), exit_code: EXIT_SUCCESS }
}

fn contract_path(customer: &str) -> String {
    format!("/v1/contracts/{customer}")
}

fn invalid_input(input: &str, problem: &str) -> ControlError {
    ControlError::InvalidInput { input: input.to_owned(), problem: problem.to_owned() }
}

fn read_json_file(file: &str) -> Result<Value, ControlError> {
    let text = std::fs::read(file).map_err(|error| invalid_input(file, &error.to_string()))?;
    serde_json::from_slice(&text)
        .map_err(|error| invalid_input(file, &format!("invalid JSON: {error}")))
}

/// Parses `provider=permille` pairs; their sum is validated by the VM.
fn parse_shares(shares: &[String]) -> Result<Vec<RawPlacement>, ControlError> {
    shares
        .iter()
        .map(|share| {
            let (provider, permille) = share
                .split_once('=')
                .ok_or_else(|| invalid_input(share, "expected provider=permille"))?;
            let share_permille = permille.parse().map_err(|_| {
                invalid_input(share, "the share must be a whole number of thousandths")
            })?;
            Ok(RawPlacement { provider: provider.to_owned(), share_permille })
        })
        .collect()
}
