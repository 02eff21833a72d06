/** Exports cached blocks; they are pinned until released or expired. */
export interface ExportAsked {
  kind: 'export_asked';
  callId: string;
  reqId: string;
  owner: string;
  hashes: string[];
  ttlMs: number;
}
