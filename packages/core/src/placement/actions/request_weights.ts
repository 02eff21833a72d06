/** Requests a load from the weight store; answered by `weights_settled`. */
export interface RequestWeights {
  kind: 'request_weights';
  requestId: string;
  /** Written `NAME@VERSION`. */
  model: string;
}
