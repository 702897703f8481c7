//! The deployment that speaks as the users' platform does: a stand-in of it with hosts.

use std::io;
use std::thread;
use std::time::Duration;

use yuccanotch_platform_standin::background;
use yuccanotch_platform_standin::background::Background;
use yuccanotch_platform_standin::background::Setup;
use yuccanotch_platform_standin::caller;

/// Hosts of the deployment.
const HOST_COUNT: usize = 3;
/// The time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(50);

/// Sends the sample requests and prints what came back; returns whether all promises held.
///
/// # Errors
///
/// Returns an error when a host cannot be set up.
pub fn run_samples() -> io::Result<bool> {
    println!("# platform: {HOST_COUNT} hosts");
    let samples = background::samples(HOST_COUNT)?;
    samples.lines.iter().for_each(|line| println!("{line}"));
    samples.broken.iter().for_each(|line| println!("BROKEN: {line}"));
    let all_held = samples.broken.is_empty();
    println!("platform: {}", if all_held { "all promises held" } else { "a promise was broken" });
    Ok(all_held)
}

/// Runs the deployment until the process is ended.
///
/// # Errors
///
/// Returns an error when a host cannot be set up.
pub fn serve() -> io::Result<bool> {
    let setup = Setup { files: 0, hosts: HOST_COUNT, event_pause: EVENT_INTERVAL };
    let deployment = Background::start(setup)?;
    for callers in &deployment.hosts {
        println!("callers http://{callers}");
    }
    if let Some(callers) = deployment.hosts.first() {
        println!("\ntry, some seconds from now:\n{}\n", caller::command_line(*callers));
    }
    loop {
        thread::sleep(Duration::from_secs(3600));
    }
}
