/** Passes part of an answer to the caller. */
export interface Deliver {
  kind: 'deliver';
  reqId: string;
  payload: string;
}
