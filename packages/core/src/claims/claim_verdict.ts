/**
 * Answer to a claim. `granted`: the claim owns its key. `completed`, `unknown`
 * and `in_progress`: another claim owns it, and this is its state. `released`:
 * the claim lost to one that was then recorded as not run, so a new claim can
 * win. `expired`: the reader may lack claims of a key this old. `unavailable`:
 * the log could not be used.
 */
export type ClaimVerdict =
  | 'granted'
  | 'completed'
  | 'unknown'
  | 'in_progress'
  | 'released'
  | 'expired'
  | 'unavailable';
