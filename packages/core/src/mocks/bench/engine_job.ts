/** One attempt on a virtual engine. */
export interface EngineJob {
  id: string;
  promptTokens: number;
  outputTokens: number;
  priority: number;
  prefixHashes: string[];
  /** Whether the KV memory is already reserved, here and on other engines. */
  reserved: boolean;
  firstToken(): void;
  ended(): void;
}
