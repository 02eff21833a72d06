import type {ChatMessage} from './chat_message.js';

/**
 * The text that is counted and hashed as the prompt. Routers and engines must
 * build it alike, otherwise their prefix hashes differ.
 */
export function promptText(messages: ChatMessage[]): string {
  return messages.map(textOf).join('\n');
}

function textOf({content}: ChatMessage): string {
  if (typeof content === 'string') return content;
  return content.map(part => part.text).join('');
}
