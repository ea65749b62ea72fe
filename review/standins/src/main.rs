mod case;
mod chaos;
mod failback;
mod reload_restart;
mod silent_upgrade;
mod unread;
mod world;

fn main() {
    world::start();
    let args: Vec<String> = std::env::args().collect();
    let record = args.get(2).cloned().unwrap_or_default();
    let code = match args[1].as_str() {
        "reload-restart" => case::run(&record, reload_restart::case),
        "silent-upgrade" => case::run(&record, silent_upgrade::case),
        "unread" => case::run(&record, unread::case),
        "chaos" => chaos::run(&args[2..]),
        "failback" => failback::run(&args[2..]),
        _ => 2,
    };
    std::process::exit(code);
}
