import type {ChatMessage} from './chat_message.js';

/**
 * The text that is counted and hashed as the prompt. Routers and engines must
 * build it alike, otherwise their prefix hashes differ.
 */
export function promptText(messages: ChatMessage[]): string {
  return messages.map(message => message.content).join('\n');
}
