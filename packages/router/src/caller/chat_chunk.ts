/** The fields of a chat-completion chunk that the router reads. */
export interface ChatChunk {
  choices?: {delta?: {content?: string}}[];
}
