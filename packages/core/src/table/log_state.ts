import type {ReadPosition} from './read_position.js';

/** Result of the latest attempt to read the table stream. */
export type LogState = ReadPosition | 'unread' | 'failed';
