import type {ChatMessage} from './chat_message.js';

/**
 * Returns the text whose tokens are counted and whose prefixes are hashed.
 * Routers and engines must build it identically, otherwise their prefix hashes
 * differ.
 */
export function promptText(messages: ChatMessage[]): string {
  return messages.map(textOf).join('\n');
}

function textOf({content}: ChatMessage): string {
  if (typeof content === 'string') return content;
  return content.map(part => part.text).join('');
}
