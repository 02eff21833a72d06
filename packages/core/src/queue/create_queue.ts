import type {RouterConfig} from '../router/router_config.js';
import {FairQueue} from './fair_queue.js';
import {FifoQueue} from './fifo_queue.js';
import type {RequestQueue} from './request_queue.js';

/** Builds the queue that the settings name. */
export function createQueue(cfg: RouterConfig): RequestQueue {
  switch (cfg.queue) {
    case 'fair':
      return new FairQueue(cfg.longPromptTokens);
    case 'fifo':
      return new FifoQueue();
  }
}
