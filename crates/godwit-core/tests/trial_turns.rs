//! Time until a request in doubt has a trial run, at sites of different sizes.

mod turns {
    use godwit_core::SteadyMs;
    use godwit_core::quarantine::{CrashRegister, LostRun, ProbationTurn, TrialAdmission};
    use rand::rngs::SmallRng;
    use rand::{Rng, SeedableRng};

    const GUILTY: u64 = 7;
    const SEEDS: u64 = 40;

    /// Time between two callers with the request, each at any host, and the longest time for which one waits there.
    const CALL_INTERVAL_MS: u64 = 500;
    const CALL_WAIT_MS: u64 = 10_000;
    const POLL_INTERVAL_MS: u64 = 20;

    /// Time after the last loss within which a trial run must begin, and after which a test gives up.
    const MAX_WAIT_MS: u64 = 3_000;
    const GIVE_UP_MS: u64 = 300_000;

    /// Time of the last loss.
    const LAST_LOSS: SteadyMs = SteadyMs(100_000);

    /// Returns a register with three losses of the request within moments, which put it in doubt.
    fn register_in_doubt() -> CrashRegister {
        let mut register = CrashRegister::new(300_000);
        for number in 0..3 {
            let ended_at = SteadyMs(LAST_LOSS.0 - 50 * (2 - number));
            let request_id = format!("r-{number}");
            let lost = LostRun {
                fingerprint: GUILTY,
                started_at: SteadyMs(ended_at.0 - 100),
                pieces: 0,
                request_id: &request_id,
                is_trial: false,
            };
            register.record_loss(lost, &format!("s-{number}"), ended_at);
        }
        register
    }

    /// Returns the time from the last loss to the first trial run, in milliseconds, if all hosts know the losses.
    fn time_to_trial_ms(register: &CrashRegister, hosts: usize, seed: u64) -> u64 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut callers: Vec<(u64, usize)> = Vec::new();
        for since_ms in (0..GIVE_UP_MS).step_by(POLL_INTERVAL_MS as usize) {
            if since_ms % CALL_INTERVAL_MS == 0 {
                callers.push((since_ms, random.random_range(0..hosts)));
            }
            callers.retain(|(since, _)| since + CALL_WAIT_MS > since_ms);
            let now = LAST_LOSS.plus_ms(since_ms);
            let may_begin = |rank: usize| {
                let turn = ProbationTurn { rank, hosts };
                register.admit_trial(GUILTY, turn, false, now) == TrialAdmission::Trial
            };
            if callers.iter().any(|(_, rank)| may_begin(*rank)) {
                return since_ms;
            }
        }
        GIVE_UP_MS
    }

    fn check_time_to_trial(hosts: usize) {
        let register = register_in_doubt();
        let mut times_ms: Vec<u64> =
            (0..SEEDS).map(|seed| time_to_trial_ms(&register, hosts, seed)).collect();
        times_ms.sort_unstable();
        let (median_ms, longest_ms) = (times_ms[times_ms.len() / 2], times_ms[times_ms.len() - 1]);
        println!("{hosts} hosts: median {median_ms} ms, longest {longest_ms} ms");
        assert!(longest_ms <= MAX_WAIT_MS, "median {median_ms} ms, longest {longest_ms} ms");
    }

    #[test]
    fn request_in_doubt_is_tried_soon_at_one_host() {
        check_time_to_trial(1);
    }

    #[test]
    fn request_in_doubt_is_tried_soon_at_nine_hosts() {
        check_time_to_trial(9);
    }

    #[test]
    fn request_in_doubt_is_tried_soon_at_hundreds_of_hosts() {
        for hosts in [30, 300, 1_000] {
            check_time_to_trial(hosts);
        }
    }
}
