/** One attempt on a virtual engine. */
export interface EngineJob {
  id: string;
  promptTokens: number;
  outputTokens: number;
  priority: number;
  prefixHashes: string[];
  /** The KV memory is reserved already, here and on other engines. */
  reserved: boolean;
  firstToken(): void;
  ended(): void;
}
