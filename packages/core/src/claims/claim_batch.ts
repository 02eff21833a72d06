import type {StreamEntry} from './stream_entry.js';

/** One record of a claims stream. */
export interface ClaimBatch {
  type: 'claims';
  /** Peer address of the recorder. */
  recorder: string;
  incarnation: number;
  /** Wall clock of the recorder when it built the batch. */
  wallMs: number;
  /** Offset up to which the recorder had read when it built the batch. */
  base: number;
  entries: StreamEntry[];
}
