/** One message of a chat-completion request. */
export interface ChatMessage {
  role: string;
  content: string;
}
