import {z} from 'zod';

/** One message of a chat-completion request: text, or a list of text parts. */
export const CHAT_MESSAGE = z.object({
  role: z.string(),
  content: z.union([
    z.string(),
    z.array(z.object({type: z.literal('text'), text: z.string()})),
  ]),
});

/** A validated message. */
export type ChatMessage = z.infer<typeof CHAT_MESSAGE>;
