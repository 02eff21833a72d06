/** Result of `fetch_weights`. */
export interface WeightsSettled {
  kind: 'weights_settled';
  /** Written `NAME@VERSION`. */
  model: string;
  ok: boolean;
}
