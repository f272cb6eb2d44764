/** Raw answers to errors of the HTTP parser, which occur before there is a request object. */
import {ErrorCode} from '@egretspoke/protocol';

/** Returns the bytes of the refusal for an error code of Node's HTTP server. */
export function writeRawRefusal(errorCode = ''): string {
	return refusals[errorCode] ?? malformed;
}

const malformed = compose('400 Bad Request', ErrorCode.MalformedRequest);

const refusals: Record<string, string> = {
	/* eslint-disable @typescript-eslint/naming-convention -- Node's error codes. */
	HPE_HEADER_OVERFLOW: compose(
		'431 Request Header Fields Too Large',
		ErrorCode.TooLarge,
	),
	ERR_HTTP_REQUEST_TIMEOUT: compose(
		'408 Request Timeout',
		ErrorCode.MalformedRequest,
	),
	/* eslint-enable @typescript-eslint/naming-convention */
};

function compose(status: string, code: ErrorCode): string {
	return (
		`HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n` +
		`egretspoke-outcome: not-run\r\negretspoke-error: ${code} ${ErrorCode[code]}\r\n\r\n`
	);
}
