/** One server-sent event. */
export interface SseEvent {
  /** Event type; empty for the default type. */
  event: string;
  data: string;
}
