import {z} from 'zod';
import {CHAT_MESSAGE} from '@wisterialadder/runtime/prompt/chat_message.js';

const DEFAULT_MAX_TOKENS = 16;
const MAX_MAX_TOKENS = 100_000;

/** Body of `POST /v1/chat/completions`. */
export const CHAT_SCHEMA = z.object({
  model: z.string().default(''),
  messages: z.array(CHAT_MESSAGE).min(1),
  max_tokens: z
    .number()
    .int()
    .min(1)
    .max(MAX_MAX_TOKENS)
    .default(DEFAULT_MAX_TOKENS),
});
