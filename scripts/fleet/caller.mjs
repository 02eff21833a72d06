const CHARACTERS_PER_TOKEN = 4;

/** Prompt text of about `tokens` tokens that is the same for the same seed. */
export function promptOf(tokens, seed) {
  const unit = `${seed} `;
  const length = tokens * CHARACTERS_PER_TOKEN;
  return unit.repeat(Math.ceil(length / unit.length)).slice(0, length);
}

/**
 * Sends a streamed chat completion. `complete` tells whether the end marker was
 * read; `outcome` is that of the answer or of its last event.
 */
export async function chat(router, options) {
  const {key, cls = '', model, prompt, maxTokens = 32, signal} = options;
  const startedMs = performance.now();
  const res = await fetch(`http://${router}/v1/chat/completions`, {
    method: 'POST',
    signal,
    headers: headersOf(key, cls, options.idempotencyKey),
    body: JSON.stringify({
      model,
      stream: true,
      max_tokens: maxTokens,
      messages: [{role: 'user', content: prompt}],
    }),
  }).catch(() => undefined);
  if (!res) return disconnected(startedMs);
  if (res.status !== 200) return rejected(res, startedMs);
  const answer = {
    status: 200,
    complete: false,
    outcome: 'failed',
    text: '',
    parts: 0,
    firstTokenMs: undefined,
    requestId: res.headers.get('wl-request-id'),
  };
  let rest = '';
  try {
    for await (const chunk of res.body.pipeThrough(new TextDecoderStream())) {
      answer.firstTokenMs ??= performance.now() - startedMs;
      const events = (rest + chunk).split('\n\n');
      rest = events.pop() ?? '';
      for (const event of events) readEvent(answer, event);
      options.onPart?.(answer);
    }
  } catch {
    answer.outcome = 'disconnected';
  }
  return {...answer, totalMs: performance.now() - startedMs};
}

/** Calls a plain service. */
export async function callService(router, service, action, options) {
  const startedMs = performance.now();
  const res = await fetch(`http://${router}/services/${service}/${action}`, {
    method: 'POST',
    signal: options.signal,
    headers: headersOf(options.key, options.cls ?? '', options.idempotencyKey),
    body: JSON.stringify(options.body ?? {}),
  });
  const outcome = res.headers.get('wl-outcome');
  const text = await res.text();
  const totalMs = performance.now() - startedMs;
  return {status: res.status, outcome, text, totalMs};
}

function headersOf(key, cls, idempotencyKey) {
  return {
    'content-type': 'application/json',
    authorization: `Bearer ${key}`,
    ...(cls === '' ? {} : {'wl-class': cls}),
    ...(idempotencyKey ? {'idempotency-key': idempotencyKey} : {}),
  };
}

function disconnected(startedMs) {
  const totalMs = performance.now() - startedMs;
  return {status: 0, complete: false, outcome: 'disconnected', totalMs};
}

async function rejected(res, startedMs) {
  const outcome = res.headers.get('wl-outcome');
  const body = await res.json().catch(() => ({}));
  const code = body.error?.code;
  const totalMs = performance.now() - startedMs;
  return {status: res.status, complete: false, outcome, code, totalMs};
}

function readEvent(answer, event) {
  const data = event
    .split('\n')
    .filter(line => line.startsWith('data: '))
    .map(line => line.slice('data: '.length))
    .join('\n');
  if (event.startsWith('event: wl-outcome')) {
    const body = JSON.parse(data);
    answer.outcome = body.outcome;
    answer.code = body.error.code;
  } else if (data === '[DONE]') {
    answer.complete = true;
    answer.outcome = 'completed';
  } else {
    answer.parts += 1;
    answer.text += JSON.parse(data).choices[0].delta.content ?? '';
  }
}

/** A UUIDv7 for a wall-clock time in milliseconds. */
export function uuidV7(wallMs = Date.now()) {
  const time = wallMs.toString(16).padStart(12, '0');
  const bytes = crypto.getRandomValues(new Uint8Array(10));
  const random = Buffer.from(bytes).toString('hex');
  const variant = '89ab'[bytes[2] % 4];
  return [
    time.slice(0, 8),
    time.slice(8),
    `7${random.slice(0, 3)}`,
    `${variant}${random.slice(3, 6)}`,
    random.slice(6, 18),
  ].join('-');
}
