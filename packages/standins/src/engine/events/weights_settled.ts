/** Answer of the weight store. */
export interface WeightsSettled {
  kind: 'weights_settled';
  /** Written `NAME@VERSION`. */
  model: string;
  ok: boolean;
}
