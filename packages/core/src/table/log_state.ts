import type {ReadPosition} from './read_position.js';

/** What the newest attempt to read the table stream came to. */
export type LogState = ReadPosition | 'unread' | 'failed';
