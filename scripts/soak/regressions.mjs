/** Seeds that once broke a promise, with the cause; played in CI. */
export const REGRESSIONS = [
  {
    seed: 5,
    durationMs: 12_000,
    kinds: 23,
    cause:
      'a request whose first attempt was the trial of a crashed engine was ' +
      'sent to another doubtful engine for its second and last attempt',
  },
  {
    seed: 19,
    durationMs: 12_000,
    kinds: 23,
    cause:
      'the stand-in kept the registration of a crashed engine for good, so ' +
      'that trials of it used up the repeats',
  },
  {
    seed: 21,
    durationMs: 12_000,
    kinds: 23,
    cause:
      'a request that hung at its second and last engine was cut at the end ' +
      'of the grace period, which the check took for a cut answer',
  },
  {
    seed: 36,
    durationMs: 6_000,
    kinds: 25,
    cause:
      'a gateway that restarted with its clock set back was not heard, since ' +
      'its incarnation was smaller than the one before',
  },
];
