//! Tests of the token file: entries, errors with their line, and that no token is ever shown.

use quickcheck::quickcheck;

use super::*;

const SECRET: &str = "d41a7f0c63e94b1f";

fn principal(tokens: &auth::Authentication, token: &str) -> Option<auth::Principal> {
    tokens.authenticate(Some(format!("Bearer {token}").as_bytes()))
}

#[test]
fn tokens_are_read_with_operator_and_team() {
    let text = format!(
        "[[token]]\noperator = \"eleni\"\ntoken = \"{SECRET}\"\n\n\
         [[token]]\noperator = \"robot\"\nteam = \"certificates\"\ntoken = \"6b0f5a3ce2a04b7d\"\n"
    );

    let tokens = parse(&text).unwrap();

    let eleni = principal(&tokens, SECRET).unwrap();
    let robot = principal(&tokens, "6b0f5a3ce2a04b7d").unwrap();
    assert_eq!(eleni, auth::Principal::cell_operator("eleni"));
    assert_eq!(robot.team, Some(id::TeamId::new("certificates").unwrap()));
    assert_eq!(principal(&tokens, "6b0f5a3ce2a04b7"), None);
    assert_eq!(tokens.authenticate(None), None);
}

#[test]
fn errors_give_the_line_and_never_the_token() {
    let too_short = "[[token]]\noperator = \"a\"\ntoken = \"d41a7f\"\n";
    let token_as_number = "\n[[token]]\noperator = \"a\"\ntoken = 123456789012345678\n";
    let duplicate = format!(
        "[[token]]\noperator = \"a\"\ntoken = \"{SECRET}\"\n\
         [[token]]\noperator = \"b\"\ntoken = \"{SECRET}\"\n"
    );

    let messages =
        [too_short, token_as_number, &duplicate].map(|text| parse(text).unwrap_err().to_string());

    assert_eq!(
        messages[0],
        "line 1: token: the token has 6 bytes, expected 16 to 256"
    );
    assert!(
        messages[1].starts_with("line 4: expected an array of tables named token"),
        "{}",
        messages[1]
    );
    assert!(
        messages[2].ends_with("(second time on line 4)"),
        "{}",
        messages[2]
    );
    for message in &messages {
        assert!(
            !message.contains("d41a7f") && !message.contains("123456"),
            "{message}"
        );
    }
}

#[test]
fn empty_file_is_an_error() {
    assert_eq!(parse("").unwrap_err(), TokenFileError::Empty);
}

#[test]
fn debug_output_contains_no_token() {
    let text = format!("[[token]]\noperator = \"eleni\"\ntoken = \"{SECRET}\"\n");

    let shown = format!("{:?}", parse(&text).unwrap());

    assert!(!shown.contains(SECRET), "{shown}");
}

quickcheck! {
    fn any_text_is_parsed_or_refused_with_a_bounded_error(text: String) -> bool {
        match parse(&text) {
            Ok(_) => true,
            Err(error) => error.to_string().len() <= 1_024,
        }
    }
}
