/** Memory that an engine holds for somebody, as its load report lists it. */
export interface EngineSession {
  id: string;
  kind: 'stream' | 'reservation' | 'export';
  /** Router id and incarnation, written `ADDRESS#INCARNATION`. */
  owner: string;
  reqId: string;
  tokens: number;
  ageMs: number;
}
