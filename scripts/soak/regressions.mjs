/** Seeds that exposed a fault, with its cause; CI runs each of them. */
export const REGRESSIONS = [
  {
    seed: 5,
    durationMs: 12_000,
    kinds: 23,
    cause:
      'a request whose first attempt probed a crashed engine was sent to ' +
      'another suspect engine for its second and last attempt',
  },
  {
    seed: 19,
    durationMs: 12_000,
    kinds: 23,
    cause:
      'the simulated store kept the registration of a crashed engine ' +
      'forever, so that probes of it used up the retries',
  },
  {
    seed: 21,
    durationMs: 12_000,
    kinds: 23,
    cause:
      'a request that hung at its second and last engine was cut at the end ' +
      'of the grace period, which the check reported as a cut answer',
  },
  {
    seed: 36,
    durationMs: 6_000,
    kinds: 25,
    cause:
      'a gateway that restarted with its clock set back was ignored, because ' +
      'its incarnation was smaller than the previous one',
  },
];
