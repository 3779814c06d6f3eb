//! Selects the headers that are forwarded between callers and upstreams.

use http::header::{self, HeaderMap, HeaderName};

/// Prefix of headers that only nutmegbay sets; they are removed in both directions.
const RESERVED_PREFIX: &str = "x-nutmegbay-";

/// Header that carries a key; an alternative to `Authorization`.
pub const API_KEY: HeaderName = HeaderName::from_static("x-api-key");

/// Headers that apply to a single connection (RFC 9110, section 7.6.1), and headers that the HTTP
/// library writes itself.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::HOST,
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Headers with credentials of the caller; they are never sent to an upstream.
const CREDENTIALS: [HeaderName; 4] = [
    header::AUTHORIZATION,
    header::PROXY_AUTHORIZATION,
    header::COOKIE,
    API_KEY,
];

/// Returns the key token of a request, from `Authorization: Bearer` or else from `X-Api-Key`.
pub fn key_token(headers: &HeaderMap) -> Option<&str> {
    let bearer = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.split_once(' '))
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"))
        .map(|(_, token)| token.trim());
    bearer.or_else(|| headers.get(API_KEY)?.to_str().ok().map(str::trim))
}

/// Returns whether a header with a key is repeated, so that the account of the request is
/// ambiguous.
pub fn has_several_keys(headers: &HeaderMap) -> bool {
    [header::AUTHORIZATION, API_KEY]
        .iter()
        .any(|name| headers.get_all(name).iter().count() > 1)
}

/// Copies the request headers that are forwarded to an upstream.
pub fn copy_request(from: &HeaderMap, to: &mut HeaderMap) {
    copy(from, to, |name| CREDENTIALS.contains(name));
}

/// Copies the response headers that are forwarded to the caller.
pub fn copy_response(from: &HeaderMap, to: &mut HeaderMap) {
    copy(from, to, |_| false);
}

fn copy(from: &HeaderMap, to: &mut HeaderMap, is_credential: impl Fn(&HeaderName) -> bool) {
    for (name, value) in from {
        let is_dropped = HOP_BY_HOP.contains(name)
            || name.as_str().starts_with(RESERVED_PREFIX)
            || is_credential(name)
            || is_named_by_connection(from, name);
        if !is_dropped {
            to.append(name.clone(), value.clone());
        }
    }
}

fn is_named_by_connection(headers: &HeaderMap, name: &HeaderName) -> bool {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|option| option.trim().eq_ignore_ascii_case(name.as_str()))
}
