//! The roles that are measured and the sizes at which they run.

use std::thread;

use crate::figure::{CountedFigure, FigureRow};
use crate::{home_run, lease_run, limit_run, member_run, permit_run, plan_run, spread_run};

type RunFunction = fn(usize) -> Vec<CountedFigure>;

/// A measurement of one or more roles at several sizes.
#[derive(Clone, Copy, Debug)]
pub struct RoleRun {
    /// Meaning of the sizes.
    pub size_of: &'static str,
    /// Small sizes in ascending order, then full scale.
    pub sizes: [usize; 4],
    run: RunFunction,
}

const DAEMONS: [usize; 4] = [30, 90, 270, 720];

/// All runs in the order of the page.
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

/// Figures of one run at its sizes.
#[derive(Clone, Debug)]
pub struct RunRows {
    /// Meaning of the sizes.
    pub size_of: &'static str,
    /// Measured sizes.
    pub sizes: Vec<usize>,
    /// One row per figure.
    pub rows: Vec<FigureRow>,
}

/// Measures the first `count` sizes of each run, every one in a separate thread.
pub fn measure(count: usize) -> Vec<RunRows> {
    thread::scope(|scope| {
        let running = RUNS.map(|run| {
            let sizes = run.sizes.into_iter().take(count);
            let handles = sizes.map(|size| (size, scope.spawn(move || (run.run)(size))));
            (run, handles.collect::<Vec<_>>())
        });
        let measured = running.into_iter().map(|(run, handles)| {
            let join = |(size, handle): (usize, thread::ScopedJoinHandle<'_, _>)| {
                (size, handle.join().expect("a measurement does not panic"))
            };
            let columns: Vec<_> = handles.into_iter().map(join).collect();
            collect(run, &columns)
        });
        measured.collect()
    })
}

/// Transposes the figures of each size into rows.
fn collect(run: RoleRun, columns: &[(usize, Vec<CountedFigure>)]) -> RunRows {
    let mut rows: Vec<FigureRow> = Vec::new();
    for (size, figures) in columns {
        for figure in figures {
            let is_same_figure =
                |row: &&mut FigureRow| (row.role, row.what) == (figure.role, figure.what);
            let point = (*size, figure.value);
            if let Some(row) = rows.iter_mut().find(is_same_figure) {
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
