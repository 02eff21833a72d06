/** An engine that reads a part of another engine's prompt. */
export interface HelperEngine {
  /** `IP:PORT`. */
  address: string;
  /** Memory set aside there for the prompt; empty if there is none. */
  ticket: string;
}
