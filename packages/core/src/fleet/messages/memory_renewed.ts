/** An engine has confirmed the renewal that the receiver asked for. */
export interface MemoryRenewed {
  kind: 'memory_renewed';
  ticket: string;
  endpoint: string;
}
