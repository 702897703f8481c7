//! Deployment with the interface of the users' platform: a stand-in of the platform and hosts.

use std::io;
use std::thread;
use std::time::Duration;

use yuccanotch_platform_standin::background;
use yuccanotch_platform_standin::background::BackgroundOptions;
use yuccanotch_platform_standin::background::BackgroundStandin;
use yuccanotch_platform_standin::caller;

/// Number of hosts in the deployment.
const HOST_COUNT: usize = 3;
/// Time between two events of a streamed answer.
const EVENT_INTERVAL: Duration = Duration::from_millis(50);

/// Sends the sample requests and prints the answers. Returns whether all promises to callers held.
///
/// # Errors
///
/// Returns an error when a host cannot be set up.
pub fn run_samples() -> io::Result<bool> {
    println!("# platform: {HOST_COUNT} hosts");
    let samples = background::run_sample_requests(HOST_COUNT)?;
    samples.lines.iter().for_each(|line| println!("{line}"));
    samples.violations.iter().for_each(|line| println!("BROKEN: {line}"));
    let all_held = samples.violations.is_empty();
    println!("platform: {}", if all_held { "all promises held" } else { "a promise was broken" });
    Ok(all_held)
}

/// Runs the deployment until the process is terminated.
///
/// # Errors
///
/// Returns an error when a host cannot be set up.
pub fn serve() -> io::Result<bool> {
    let setup = BackgroundOptions { files: 0, hosts: HOST_COUNT, event_pause: EVENT_INTERVAL };
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
