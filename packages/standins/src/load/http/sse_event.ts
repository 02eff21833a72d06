/** One server-sent event. */
export interface SseEvent {
  /** Empty for the default type. */
  event: string;
  data: string;
}
