/** Asks the weight store; answered by `weights_settled`. */
export interface FetchWeights {
  kind: 'fetch_weights';
  /** Written `NAME@VERSION`. */
  model: string;
}
