/** Asks the weight store for a load; answered by `weights_settled`. */
export interface RequestWeights {
  kind: 'request_weights';
  requestId: string;
  /** Written `NAME@VERSION`. */
  model: string;
}
