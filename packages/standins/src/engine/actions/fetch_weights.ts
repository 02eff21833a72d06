/** Requests weights from the weight store; yields `weights_settled`. */
export interface FetchWeights {
  kind: 'fetch_weights';
  /** Written `NAME@VERSION`. */
  model: string;
}
