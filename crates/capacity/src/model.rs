//! Which roles are run at which sizes.

use std::thread;

use crate::figure::{CountedFigure, FigureRow};
use crate::{home_run, lease_run, limit_run, member_run, permit_run, plan_run, spread_run};

type RunFunction = fn(usize) -> Vec<CountedFigure>;

/// State machines of some roles, run at several sizes of one kind.
#[derive(Clone, Copy, Debug)]
pub struct RoleRun {
    /// What the sizes count.
    pub size_of: &'static str,
    /// Small sizes, rising, then the target's.
    pub sizes: [usize; 4],
    run: RunFunction,
}

const DAEMONS: [usize; 4] = [30, 90, 270, 720];

/// All runs, in the order of the page.
pub const RUNS: [RoleRun; 7] = [
    RoleRun {
        size_of: "daemons",
        sizes: DAEMONS,
        run: spread_run::run,
    },
    RoleRun {
        size_of: "daemons",
        sizes: DAEMONS,
        run: member_run::run,
    },
    RoleRun {
        size_of: "daemons",
        sizes: DAEMONS,
        run: limit_run::run,
    },
    RoleRun {
        size_of: "keyed calls a second at one home",
        sizes: [50, 100, 200, 300],
        run: home_run::run,
    },
    RoleRun {
        size_of: "homes",
        sizes: [2, 4, 6, 10],
        run: lease_run::run,
    },
    RoleRun {
        size_of: "targets of keyed calls",
        sizes: [10, 20, 40, 100],
        run: permit_run::run,
    },
    RoleRun {
        size_of: "customers",
        sizes: [50, 100, 200, 500],
        run: plan_run::run,
    },
];

/// The figures of one run over its sizes.
#[derive(Clone, Debug)]
pub struct RunRows {
    /// What the sizes count.
    pub size_of: &'static str,
    /// The sizes that were run.
    pub sizes: Vec<usize>,
    /// One row for each figure.
    pub rows: Vec<FigureRow>,
}

/// Runs the first `count` sizes of every run, each in its own thread.
pub fn measure(count: usize) -> Vec<RunRows> {
    thread::scope(|scope| {
        let started = RUNS.map(|run| {
            let sizes = run.sizes.into_iter().take(count);
            let handles = sizes.map(|size| (size, scope.spawn(move || (run.run)(size))));
            (run, handles.collect::<Vec<_>>())
        });
        let ended = started.into_iter().map(|(run, handles)| {
            let join = |(size, handle): (usize, thread::ScopedJoinHandle<'_, _>)| {
                (size, handle.join().expect("a run does not panic"))
            };
            let columns: Vec<_> = handles.into_iter().map(join).collect();
            collect(run, &columns)
        });
        ended.collect()
    })
}

/// Turns the figures of each size into rows over the sizes.
fn collect(run: RoleRun, columns: &[(usize, Vec<CountedFigure>)]) -> RunRows {
    let mut rows: Vec<FigureRow> = Vec::new();
    for (size, figures) in columns {
        for figure in figures {
            let same = |row: &&mut FigureRow| (row.role, row.what) == (figure.role, figure.what);
            let point = (*size, figure.value);
            if let Some(row) = rows.iter_mut().find(same) {
                row.points.push(point);
                continue;
            }
            rows.push(FigureRow {
                role: figure.role,
                what: figure.what,
                unit: figure.unit,
                points: vec![point],
            });
        }
    }
    RunRows {
        size_of: run.size_of,
        sizes: columns.iter().map(|column| column.0).collect(),
        rows,
    }
}
