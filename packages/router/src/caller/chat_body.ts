import {z} from 'zod';
import {CHAT_MESSAGE} from '@wisterialadder/runtime/prompt/chat_message.js';

const DEFAULT_MAX_OUTPUT_TOKENS = 256;
const MAX_OUTPUT_TOKENS = 1_000_000;
const MAX_MESSAGES = 10_000;

/** The fields of a chat-completion request that the router reads. */
export const CHAT_BODY = z.object({
  model: z.string().optional(),
  stream: z.boolean().default(false),
  max_tokens: z
    .number()
    .int()
    .min(1)
    .max(MAX_OUTPUT_TOKENS)
    .default(DEFAULT_MAX_OUTPUT_TOKENS),
  messages: z.array(CHAT_MESSAGE).min(1).max(MAX_MESSAGES),
});
