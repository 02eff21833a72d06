/** The part of a chat-completion chunk that is read. */
export interface ChatChunk {
  choices?: {delta?: {content?: string}}[];
}
