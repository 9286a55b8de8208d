//! Publishes two lists as a log record, folds it and looks up calls in the resulting table.

use std::time::SystemTime;

use model::{ChangeId, LogOffset};
use quetzal_plans::{
    ChangeMeta, ChangeRecord, ConfigLists, ConfigRecord, ConfigReplica, RouteTable, lists,
};

type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

fn main() -> Result<()> {
    let (plans_text, allowances_text) = lists::template();
    let lists = ConfigLists::parse(&plans_text, &allowances_text).map_err(|problems| {
        let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
        lines.join("\n")
    })?;

    let mut replica = ConfigReplica::new();
    let meta = ChangeMeta {
        id: ChangeId("0198c0de-0000-7000-8000-000000000001".parse()?),
        author: "mona".parse()?,
        note: "first lists".into(),
    };
    let change = ChangeRecord::between(replica.state(), replica.state().base(), &lists, meta)?;
    let record = ConfigRecord {
        offset: LogOffset(0),
        at: SystemTime::now(),
        body: change.encode()?.into(),
    };
    println!("{:?}", replica.fold(record)?);

    let table = RouteTable::build(replica.state());
    for (customer, key) in [("agency-nour", "change-me"), ("agency-tarek", "")] {
        match table.admit(customer, key, "POST", "/deals/7/payout") {
            Ok(grant) => println!("{customer}: {} calls/s", grant.allowance.rate),
            Err(error) => println!("{customer}: {error}"),
        }
    }
    Ok(())
}
