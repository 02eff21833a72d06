/** Queues that settings can name. */
export type QueueName = 'fair' | 'fifo';
