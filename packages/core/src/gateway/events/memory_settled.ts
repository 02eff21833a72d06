import type {MemoryAnswer} from '../../tickets/memory_answer.js';

/** An engine answered, or failed to answer, an order about its memory. */
export interface MemorySettled {
  kind: 'memory_settled';
  ticket: string;
  endpoint: string;
  answer: MemoryAnswer;
}
