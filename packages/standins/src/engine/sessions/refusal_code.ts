/** Reason for which the engine did not run a request. */
export type RefusalCode =
  | 'leaving'
  | 'full'
  | 'prompt_too_long'
  | 'model_not_loaded'
  | 'reservation_lost';
