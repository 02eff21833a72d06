import type {EndpointHints} from '../endpoint_hints/endpoint_hints.js';
import type {MemoryAnswer} from './memory_answer.js';

/** Result of an order about an engine's memory. */
export interface MemoryOrderResult {
  answer: MemoryAnswer;
  /** What the engine's answer says about the engine. */
  hints: EndpointHints;
}
