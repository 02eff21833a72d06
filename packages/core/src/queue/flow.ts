import type {QueueEntry} from './queue_entry.js';

/** Waiting requests of one class and customer in one lane. */
export interface Flow {
  key: string;
  /** In order of arrival. */
  entries: QueueEntry[];
  weight: number;
  /** Virtual start time of the first entry, in tokens per weight. */
  startTag: number;
  /** Tokens of all entries. */
  backlogTokens: number;
}
