use super::*;

/// Request counts of one class.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClassResult {
    pub finished: u64,
    pub met: u64,
    pub total: u64,
}

/// Results of a run.
#[derive(Clone, Debug, Default)]
pub struct BenchResult {
    pub classes: [ClassResult; CLASSES.len()],
    pub good_tokens: u64,
    /// Requests sent to an engine that refused them because its queue was full.
    pub refused_by_engine: u64,
    pub tokens: u64,
}

impl BenchResult {
    pub fn add(&mut self, other: &Self) {
        for (sum, class) in self.classes.iter_mut().zip(&other.classes) {
            sum.finished += class.finished;
            sum.met += class.met;
            sum.total += class.total;
        }
        self.good_tokens += other.good_tokens;
        self.refused_by_engine += other.refused_by_engine;
        self.tokens += other.tokens;
    }
}

/// Prints attainment by class, and goodput relative to that of the first row.
pub fn print_table(title: &str, rows: &[(String, BenchResult)]) {
    println!("\n{title}: attainment in percent by class, goodput relative to the first row");
    print!("{:38}", "");
    for class in &CLASSES {
        print!("{:>10}", class.name);
    }
    println!("{:>10}{:>10}{:>10}", "goodput", "unserved", "refused");
    let best = rows[0].1.good_tokens as f64;
    for (name, result) in rows {
        print!("{name:38}");
        let mut unserved = 0;
        for class in &result.classes {
            print!("{:>10.2}", 100.0 * class.met as f64 / class.total as f64);
            unserved += class.total - class.finished;
        }
        println!(
            "{:>10.3}{unserved:>10}{:>10}",
            result.good_tokens as f64 / best,
            result.refused_by_engine,
        );
    }
}
