/** The caller went away. */
export interface RequestCancelled {
  kind: 'request_cancelled';
  reqId: string;
}
