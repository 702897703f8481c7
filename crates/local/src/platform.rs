//! The deployment that speaks as the users' platform does: a stand-in of it with hosts.

use std::io;
use std::thread;
use std::time::Duration;

use yuccanotch_platform_standin::background;
use yuccanotch_platform_standin::background::BackgroundOptions;
use yuccanotch_platform_standin::background::BackgroundStandin;
use yuccanotch_platform_standin::caller;

/// Hosts of the deployment.
const HOSTS: usize = 3;
/// The time between two events of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(50);

/// Sends the sample requests and prints what came back; returns whether all promises held.
///
/// # Errors
///
/// Returns an error when a host cannot be set up.
pub fn run_samples() -> io::Result<bool> {
    println!("# platform: {HOSTS} hosts");
    let samples = background::run_sample_requests(HOSTS)?;
    samples.lines.iter().for_each(|line| println!("{line}"));
    samples.violations.iter().for_each(|line| println!("BROKEN: {line}"));
    let held = samples.violations.is_empty();
    println!("platform: {}", if held { "all promises held" } else { "a promise was broken" });
    Ok(held)
}

/// Runs the deployment until the process is ended.
///
/// # Errors
///
/// Returns an error when a host cannot be set up.
pub fn serve() -> io::Result<bool> {
    let setup = BackgroundOptions { files: 0, hosts: HOSTS, event_pause: EVENT_PAUSE };
    let deployment = BackgroundStandin::start(setup)?;
    for callers in &deployment.hosts {
        println!("callers http://{callers}");
    }
    if let Some(callers) = deployment.hosts.first() {
        println!("\ntry, some seconds from now:\n{}\n", caller::curl_command(*callers));
    }
    loop {
        thread::sleep(Duration::from_secs(3600));
    }
}
