import {z} from 'zod';

/** A chat-completion chunk; only the fields that are checked. */
export const CHUNK_SCHEMA = z.object({
  choices: z.array(
    z.object({delta: z.object({content: z.string().optional()})}),
  ),
});

/** Data of the event `wl-outcome`. */
export const OUTCOME_SCHEMA = z.object({
  outcome: z.string(),
  code: z.string().default(''),
});

/** Body of a refusal. */
export const REFUSAL_SCHEMA = z.object({
  outcome: z.string().optional(),
  error: z.object({code: z.string()}).optional(),
});

/** Answer of a plain service. */
export const CALL_ANSWER_SCHEMA = z.object({bodyHash: z.string().default('')});
