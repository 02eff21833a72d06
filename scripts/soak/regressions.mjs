/** Seeds that once broke a promise, with the cause; played in CI. */
export const REGRESSIONS = [
  {
    seed: 5,
    durationMs: 12_000,
    cause:
      'a request whose first attempt was the trial of a crashed engine was ' +
      'sent to another doubtful engine for its second and last attempt',
  },
];
