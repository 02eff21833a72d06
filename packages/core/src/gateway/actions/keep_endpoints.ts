/** Names the endpoints in use; connections to all others are closed. */
export interface KeepEndpoints {
  kind: 'keep_endpoints';
  endpoints: string[];
}
