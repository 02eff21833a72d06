/** The caller disconnected. */
export interface RequestCancelled {
  kind: 'request_cancelled';
  reqId: string;
}
