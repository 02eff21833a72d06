/** Frees memory that an engine holds; harmless when repeated. */
export interface ReleaseSession {
  kind: 'release_session';
  endpoint: string;
  url: string;
  sessionId: string;
}
