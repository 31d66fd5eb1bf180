//! Cases of the third review that are no day of the bench: `standin-3 CASE FOLDER`. It starts the
//! project's own program as separate processes, with small stand-ins of the store, the servers and the
//! clients. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With
//! `TROUBLE=0` it does the same without the disruption.

mod cases;
mod fleet;
mod http;
mod json;
mod server;
mod store;

use std::{env, fs, panic, path::PathBuf, process::ExitCode};

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: standin-3 CASE FOLDER");
        return ExitCode::from(2);
    };
    let folder = PathBuf::from(folder);
    let has_trouble = env::var("TROUBLE").map_or(true, |text| text != "0");
    let temporary = env::temp_dir().join(format!("review-3-{}", std::process::id()));
    fs::create_dir_all(&temporary).expect("a temporary folder");
    let result = panic::catch_unwind(|| {
        let mut record = cases::Record::new(&folder);
        cases::run(case, &temporary, has_trouble, &mut record)
    });
    if env::var("KEEP_LOGS").is_err() {
        fs::remove_dir_all(&temporary).ok();
    }
    match result {
        Ok(true) => {
            println!("{case}: the rule was broken");
            ExitCode::from(1)
        }
        Ok(false) => {
            println!("{case}: the rule held");
            ExitCode::SUCCESS
        }
        Err(_) => {
            println!("{case}: the case couldn't run");
            ExitCode::from(2)
        }
    }
}
