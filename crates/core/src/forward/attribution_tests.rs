use crate::forward::attribution::AnswerIdentity;

fn is_own(asked: Option<&str>, named: Option<&str>, is_refusal: bool, is_first: bool) -> bool {
    AnswerIdentity { asked, named, is_refusal, is_first }.is_own()
}

#[test]
fn an_answer_belongs_to_the_request_that_it_names_alone() {
    for is_refusal in [false, true] {
        for is_first in [false, true] {
            assert!(is_own(Some("a"), Some("a"), is_refusal, is_first));
            assert!(!is_own(Some("a"), Some("b"), is_refusal, is_first));
            assert!(!is_own(None, Some("b"), is_refusal, is_first));
        }
    }
}

#[test]
fn an_answer_without_an_id_belongs_to_a_request_only_as_a_refusal_that_no_other_message_can_have() {
    assert!(is_own(Some("a"), None, true, true));
    assert!(!is_own(Some("a"), None, true, false));
    assert!(!is_own(Some("a"), None, false, true));
    assert!(!is_own(Some("a"), None, false, false));
}
