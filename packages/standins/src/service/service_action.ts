/** Side effects that the service node requests from its process. */
export type ServiceAction =
  | {
      kind: 'answer';
      callId: string;
      status: number;
      body: Record<string, unknown>;
    }
  | {kind: 'refuse'; callId: string; code: 'leaving' | 'full'}
  | {kind: 'close'; callId: string}
  | {kind: 'exit'};
