/** One server-sent event. */
export interface SseEvent {
  id: string;
  event: string;
  data: string;
}
