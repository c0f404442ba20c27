//! Prints the figures of `measure::lease`.

use mangotrestle_dev::measure::lease;

fn main() {
    for figure in lease::run(1).figures {
        println!("{}: {:.1} {}", figure.name, figure.value, figure.unit);
    }
}
